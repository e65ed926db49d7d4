Feature: Settings, logs and traces of running daemons
  Invalid settings must stop a daemon at its start, logs must not contain what callers sent, and a
  slow request must be traceable through every hop.

  Scenario: All invalid settings are reported together, and no port is opened
    When telemetry daemons are started with invalid settings of every kind
    Then each telemetry daemon exits with code 2, reports every fault and prints no ready line
    And the reported faults cover every start-up check of the settings page

  Scenario: Logs contain no payloads, keys or credentials
    Given a telemetry deployment with a peer key and log level debug
    When recognizable telemetry jobs are answered, resubmitted, fetched and refused
    And recognizable telemetry jobs fail at upstreams, while the log is unavailable and in a drain
    Then the telemetry logs contain events but no payload, no key and not the peer key

  Scenario: One trace shows every hop across two daemons
    Given a traced deployment of two daemons with recording upstreams
    When sampled jobs of 40 tasks are sent to the first traced daemon until one has moved tasks
    Then the trace has one front span under the caller's span and one claim span under that
    And the trace has a queue wait and an upstream request for each task, under its move if it moved
    And each traced upstream received the contexts of its own upstream requests
    When a sampled job with a prefix of the second traced daemon is sent to the first
    Then the trace has a forward span under the front span of the first daemon and the rest under it

  Scenario: Unsampled requests export no spans, and a caller's context is passed on
    Given a traced deployment of two daemons with recording upstreams
    When traced requests are sent with an unsampled context, without one and with invalid ones
    Then each traced upstream received an unsampled context, the caller's own if that was valid
    And the collector has received only the spans of a sampled request that was sent last

  Scenario: A failing collector loses spans but fails no request
    Given a traced deployment of two daemons with recording upstreams
    When the trace collector refuses exports, and later hangs, while sampled jobs run
    Then every traced job was answered, and lost spans are counted, and logged once for each outage

  Scenario: An internal error is answered as such, and the daemon keeps serving
    Given a telemetry daemon with an internal error in each request to one route
    Then that telemetry route answers with problem "internal", and the error is counted and logged

  Scenario: Daemons serve callers, operators and each other over IPv6
    Given a telemetry deployment of 2 daemons with IPv6 addresses
    Then each of these telemetry daemons answers a job at the address that it reported

  Scenario: Of two daemons with the same name, only one owns upstreams until it ends
    Given a telemetry daemon, and a second one with the same name
    Then both log which setting is wrong, and only one of them owns the upstreams and is ready
    When the ready one is killed, the other owns the upstreams and is ready
