"""Group the components of samphirelug."""
