"""Stand-ins for the platform, its servers and clients, on loopback."""
