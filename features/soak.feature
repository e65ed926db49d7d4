Feature: Hosts keep their promises under random faults
  Real hosts on the stand-in for the users' platform. Signals pause, stop, kill and restart them, a proxy
  disturbs what they say to the store and to the upstreams, and upstreams and log misbehave.
  `make soak SEED=... SECONDS=...` plays longer.

  Scenario: A short soak under a fixed seed finds nothing
    When the soak plays seed 20404 for 20 s
    Then the soak reports runs checked and 0 violations
