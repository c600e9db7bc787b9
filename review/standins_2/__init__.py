"""What the cases of the second review have in common."""
