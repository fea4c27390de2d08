"""Demonstration of a whole cell on loopback."""


def main():
    """Run the demonstration."""


if __name__ == "__main__":
    main()
