Feature: Settings, logs and traces of running daemons
  Wrong settings must not start a daemon that half works, no log may hold what callers sent, and a
  slow request must be traceable through every hop.

  Scenario: Every wrong setting is reported at once, and nothing listens
    When telemetry daemons are started with wrong settings of every kind
    Then each telemetry daemon exits 2, names every fault and prints no ready line
    And the telemetry faults cover every start-up check of the page

  Scenario: Logs hold no payloads, keys or credentials
    Given a telemetry deployment with a peer key and log level debug
    When recognizable telemetry jobs are answered, resubmitted, fetched and refused
    And recognizable telemetry jobs fail at upstreams, with the log down and at a drain
    Then the telemetry logs name events but no payload, no key and not the peer key
