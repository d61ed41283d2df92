"""Stand-ins for the cases 6 to 10: the platform, engines and clients of one small site."""
