Feature: Random faults, resubmissions and cancellations show no violation
  The seed fixes what is sent and which faults act; `make explore SEED=... RUNS=...` searches longer.

  Scenario: A small exploration under fixed seed finds nothing
    When the explorer carries out 3 runs of seed 20403
    Then the explorer reports starts checked and 0 violations
