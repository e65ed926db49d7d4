Feature: Random faults, resubmissions and cancellations show no violation
  The seed determines the submissions and faults; `make explore SEED=... RUNS=...` runs more of them.

  Scenario: A short exploration with a fixed seed finds no violation
    When the explorer carries out 3 runs of seed 20403
    Then the explorer reports starts checked and 0 violations
