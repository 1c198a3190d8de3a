"""A small fleet on loopback that shows what canvasyoke does while things fail."""
