"""Configuration bundles: their form, signatures and which one is in force."""
