"""Stand-ins and helpers of the second review; they need the standard library only."""
