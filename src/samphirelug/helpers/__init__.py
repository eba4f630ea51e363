"""Group the helpers of samphirelug."""
