"""Stand-ins and helpers of the cases; only the standard library is used."""
