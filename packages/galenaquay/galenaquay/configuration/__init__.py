"""The platform's configuration documents: types, validation and updates."""
