"""Program that takes callers' requests to endpoints."""
