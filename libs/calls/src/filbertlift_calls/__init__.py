"""Call logic: at-most-once execution, admission, target choice, retries."""
