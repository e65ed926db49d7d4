"""Rules and registrar that let each submission start once."""
