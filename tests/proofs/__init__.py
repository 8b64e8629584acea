"""Each promise fails with its rule switched off, and holds with it on."""
