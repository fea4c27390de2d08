"""Runs ``citrondeal-cell`` from a source tree that is not installed."""

from citrondeal.cell import main

if __name__ == "__main__":
    main.main()
