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

  Scenario: One trace shows every hop over two daemons
    Given a traced deployment of two daemons with recording upstreams
    When sampled traced jobs of 40 tasks go to the first daemon until one has moved in part
    Then the trace has one front span below the caller and one claim below that
    And the trace has a queue wait and an upstream request for each task, moved ones below their move
    And each traced upstream got the context of its own upstream request
    When a sampled traced job goes to the first daemon under a prefix of the second
    Then the trace has a forward below the front of the first daemon and the rest below the forward

  Scenario: Unsampled requests leave no spans, and a caller's context goes on
    Given a traced deployment of two daemons with recording upstreams
    When traced requests come unsampled, without context and with broken contexts
    Then each traced upstream got an unsampled context, the caller's own where that was valid
    And the collector has only the spans of a sampled request that came last

  Scenario: A failing collector costs spans and no request
    Given a traced deployment of two daemons with recording upstreams
    When the trace collector refuses, and later hangs, while sampled traced jobs run
    Then every traced job was answered, and the lost spans are counted and named once for each outage

  Scenario: A fault of the daemon itself is answered as such, and the daemon goes on
    Given a telemetry daemon that meets a fault in each request to one route
    Then that telemetry route answers with problem "internal", and the fault is counted and logged

  Scenario: Daemons serve callers, operators and each other over IPv6
    Given a telemetry deployment of 2 daemons with IPv6 addresses
    Then each telemetry daemon of them answers a job at the address that it announced

  Scenario: Of two daemons with one name, one gives way until the other is gone
    Given a telemetry daemon, and a second one under its name
    Then both write which setting is wrong, and one of them alone owns the upstreams and is ready
    When that one is killed, the other owns the upstreams and is ready
