"""What an entry says to control and to other entries, and hears from them."""
