"""Program that places jobs on workers and serves operators."""
