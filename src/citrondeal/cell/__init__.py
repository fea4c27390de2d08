"""Program that runs a whole cell on the users' platform."""
