Feature: Requests that waited while a host was paused

  Scenario Outline: A request that lay unread during a pause starts nothing
    # Guards against a second run of a job whose caller has left and sent it to another host (review/3).
    Given a host that leads an idle upstream and serves callers
    When a caller sends it a job <connection> while it is paused, and the end of the connection <end>
    Then nothing is started, and the answer is that the job has not run

    Examples:
      | connection                | end                                |
      | over a new connection     | lies behind the request            |
      | over a new connection     | comes 0.3 s after the pause        |
      | over a new connection     | is held back                       |
      | over an idle connection   | is held back                       |

  Scenario: A request that comes during a pause starts nothing although a response is sent until after it
    # Guards against the end of a response, seen late, as proof that the next request is new.
    Given a host that leads an idle upstream and serves callers
    When a caller gets a response and sends the next job while the host is paused in sending the response
    Then nothing is started, and the answer is that the job has not run

  Scenario: A request that is sent after a pause is served
    # Guards against a host that refuses its callers after a pause.
    Given a host that leads an idle upstream and serves callers
    When a caller sends it a job over a new connection after a pause
    Then the job is started once and answered as succeeded

  Scenario: A connection that was idle during a pause is used again
    # Guards against a host that refuses the next request of each old connection, however late it comes.
    Given a host that leads an idle upstream and serves callers
    When a caller sends it a job over an idle connection after a pause and the longest retransmission
    Then the job is started once and answered as succeeded

  Scenario: A job that waits for room during a pause isn't started
    # Guards against queued jobs that start before the ends of their callers are read.
    Given a host that leads an upstream without room and serves callers
    When a caller's job waits for room while the host is paused, and room comes free
    Then nothing is started, and the answer is that the job has not run

  Scenario: A start that a pause holds up reaches its upstream after the lease has ended
    # Guards against a pause between the last check of a start and its sending.
    Given a host that leads an idle upstream and serves callers
    When it is paused right after it has found that a start may be sent
    Then the lease of the start has ended when it reaches the upstream

  Scenario: A host that was paused doesn't send its leader the jobs that waited
    # Guards against an entry host that submits for callers who have left.
    Given a host that follows no leader yet and has a caller's job
    When it is paused and finds a leader then
    Then the leader gets no job, and the answer is that the job has not run

  Scenario: A leader takes no job of a silent host before its heartbeats come again
    # Guards against a job that an entry host had begun to send when it was paused.
    Given a leader that has lost the heartbeats of another host
    When that host submits a job, sends a heartbeat and submits it again
    Then the job is given back first and taken then
