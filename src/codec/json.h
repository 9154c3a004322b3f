// Placeholder replaced by the JSON codec.
