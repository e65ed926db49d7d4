Feature: Hosts on the users' platform
  Real hosts dispatch through the adapter against a stand-in for the platform's log and upstreams.

  Scenario: Jobs are answered at every host, each task started once
    Given hosts on a site
    When 6 jobs of 4 tasks are submitted to each host in turn
    Then every job is answered 200 "succeeded"
    And each of 24 tasks was started once
    And one host leads every zone
    # Guards against ended runs that an idle upstream reports again and again.
    And every ended run is acknowledged

  Scenario: A leader that is stopped hands its runs over
    # Guards against runs that are cut off or started twice when the leader is stopped as planned.
    Given hosts on a site whose tasks take 600 ms
    When a job of 4 tasks is submitted to each host
    And 4 runs or more are under way
    And the leader is terminated
    Then every job is answered 200 "succeeded"
    And each of 12 tasks was started once
    And another host leads every zone

  Scenario: A killed leader is replaced, and no task runs beside its own earlier run
    # Guards against a resubmitted job that is placed before the runs under the last leader are known.
    Given hosts on a site whose tasks take 600 ms
    When a job of 4 tasks is submitted to each host
    And 4 runs or more are under way
    And the leader is killed
    Then the jobs of the other hosts are answered
    And no task ran twice at the same time
    And a job submitted to another host is answered 200 "succeeded"

  Scenario: A leader that was paused starts nothing under its old fencing token
    Given hosts on a site
    When the leader is paused until another host leads
    And the paused host is resumed
    And 4 jobs of 3 tasks are submitted to each host in turn
    Then every job is answered 200 "succeeded"
    And no task ran twice at the same time
    And one host leads every zone

  Scenario: A leader that was paused starts no job of a caller whose end it hasn't read
    # Guards against a second run of a job that was sent elsewhere while its first host was paused (review/3).
    Given hosts on a site whose tasks take 600 ms
    When the leader is paused until another host leads
    And a caller submits a job to it without ever leaving, and then the same job to another host
    And the paused host is resumed while the job runs
    Then its answer to the first request is 503
    And no task ran twice at the same time
    And a job submitted to the resumed host is answered 200 "succeeded" soon

  Scenario: Zones keep serving with their own upstreams while the leader and the log are unavailable
    # Guards against a zone that is cut off and refuses all jobs although its upstreams are idle.
    Given hosts on a site with 2 hosts in each zone
    When the log stops responding
    And the leader is paused
    Then jobs submitted to a host of each zone are answered 200 "succeeded" within 10 s
    And the upstreams of each zone have the same fencing token

  Scenario: Two hosts that lead a zone without knowing each other don't run one job twice
    # Guards against two provisional leaders under one fencing token (incident inc1).
    Given hosts on a site with 2 hosts in each zone and tasks of 600 ms
    When all hosts are killed, and all but the leader start again while the log ignores appends
    And both hosts of another zone lead it provisionally
    And one job of 2 tasks is submitted to both at once
    Then no task ran twice at the same time after both have answered
    And one or both answer 200 "succeeded"

  Scenario: Hosts that have all started anew find each other while the log ignores appends
    # Guards against a second leader in a zone, which refuses its callers as upstreams obey the other.
    Given hosts on a site with 2 hosts in each zone
    When all hosts are killed and start again while the log ignores appends
    Then jobs submitted to every host are answered 200 "succeeded" within 10 s
    And no two hosts of a zone follow different leaders

  Scenario: A zone whose host starts again and again while the log ignores appends keeps serving
    # Guards against a later life of a host whose fencing token is lower than that of an earlier one.
    Given hosts on a site
    When the log ignores appends
    Then the leader answers a job within 10 s each of 4 times that it is killed and starts again

  Scenario: Upstreams are used again after a provisional leader has ended without a record of its term
    # Guards against upstreams that stay idle for good, as they have seen a token that the log doesn't hold.
    Given hosts on a site
    When the log stops responding
    And the leader is paused
    And the other hosts lead their zones provisionally, and are killed
    And the log responds again, and the other hosts are started and the leader is resumed
    Then one job runs on upstreams of every zone within 10 s

  Scenario: A host whose fencing token the upstreams refuse isn't ready
    # Guards against callers who are sent to the weaker one of two provisional leaders, which serves nothing.
    Given hosts on a site with 2 hosts in each zone
    When all hosts are killed, and all but the leader start again while the log ignores appends
    And both hosts of another zone lead it provisionally
    Then within 5 s each of them answers a job or is not ready

  Scenario: One host leads all zones again after leadership was split
    Given hosts on a site with 2 hosts in each zone
    When the leader is paused until another host leads
    And the paused host is resumed
    Then one host leads every zone within 10 s

  Scenario: Each failure domain has a leader of its own where there are many upstreams
    # Guards against a single leader that has no time to answer heartbeats (grown sites, quiet-1).
    Given hosts on a site of 6 upstreams with separate leaders above 5 upstreams
    Then each zone has a leader of its own within 30 s
    # A new leader refuses jobs until its first upstream has listed its runs.
    And every host is ready
    When 6 jobs of 4 tasks are submitted to each host in turn
    Then every job is answered 200 "succeeded"
    And each of 24 tasks was started once
    When the leader of zone "z2" is terminated and started again
    Then each zone has a leader of its own within 30 s

  @known_red
  Scenario: Hosts become ready with 99 upstreams beside load
    Given hosts on a site with 33 upstreams in each zone
    Then each zone has a leader of its own within 30 s
    And every host is ready

  Scenario: A leader hands over to a much stronger host, and its runs continue
    # Guards against a weak host that keeps leadership because it was the first to claim it.
    Given hosts on a site whose strongest host starts last, with tasks of 800 ms
    When jobs of 2 tasks are submitted to the other hosts until the strongest leads
    Then every job is answered 200 "succeeded"
    And no task ran twice at the same time
    And no task was started twice

  Scenario: A start without an answer is stopped before its task starts elsewhere
    Given hosts on a site
    When the next start at every upstream is carried out without a reply
    And 1 job of 3 tasks is submitted to each host in turn
    Then every job is answered 200 "succeeded"
    And no task ran twice at the same time

  @known_red
  Scenario: The tasks of an unresponsive upstream start again once its lease has expired
    Given hosts on a site whose tasks take 400 ms
    When a job of 4 tasks is submitted to each host
    And 4 runs or more are under way
    And an upstream with runs stops replying
    Then every job is answered 200 "succeeded"
    And no task ran twice at the same time

  Scenario: A run that makes no progress is moved to another upstream
    # Guards against jobs that wait for a task on an upstream that hangs.
    Given hosts on a site
    When an upstream hangs
    And 8 jobs of 3 tasks are submitted to each host in turn
    Then every job is answered 200 "succeeded"
    And no task ran twice at the same time
    And no task was started twice on one upstream

  Scenario: An upstream that fails its runs gets no more than a few
    Given hosts on a site
    When an upstream fails everything it starts
    And 8 jobs of 3 tasks are submitted to each host in turn
    Then every job is answered 200 "succeeded"
    And the failing upstream got fewer than a quarter of the starts

  Scenario: A task that crashes the upstreams that start it takes down few of them
    # Guards against a task that crashes one upstream after another (issue 26).
    Given hosts on a site
    When a job whose task crashes its upstream is submitted at each host until it isn't to be repeated
    Then every job is answered 200 "failed"
    And no task has crashed more than 3 upstreams
    And a job submitted to another host is answered 200 "succeeded"

  Scenario: A task that crashes upstreams is given up although the leader is killed
    # Guards against a new leader that starts such a task as if nothing was known of it (issue 26).
    Given hosts on a site
    When a job whose task crashes its upstream is submitted at another host until it isn't to be repeated
    And the leader is killed once an upstream has crashed
    Then every job is answered 200 "failed"
    And no task has crashed more than 3 upstreams

  Scenario: A refused job has not run, and its caller learns when to retry
    Given hosts on a site whose tasks take 2000 ms
    When 8 jobs of 8 tasks are submitted to one host at once
    Then some jobs are answered 503 with Retry-After
    And no task of a refused job was started

  Scenario: A job submitted twice at once is one job
    Given hosts on a site whose tasks take 200 ms
    When one job of 4 tasks is submitted to two hosts at once
    Then every job is answered 200 "succeeded"
    And each of 4 tasks was started once

  Scenario: The runs of a caller that disconnects are stopped
    Given hosts on a site whose tasks take 5000 ms
    When a caller disconnects 300 ms after it submitted a job of 4 tasks
    Then no run is under way

  Scenario: A draining upstream gets no new work
    Given hosts on a site
    When an upstream drains and its entry was read
    And 4 jobs of 4 tasks are submitted to each host in turn
    Then every job is answered 200 "succeeded"
    And the draining upstream got no start since

  Scenario: A configuration is in force at every host, even after the log has lost its history
    Given hosts on a site
    When the log loses the history of "keyed.op"
    And a configuration replaces the route by "/bookings/"
    Then each host answers "/bookings/" with 200 and "/orders/" with 404

  Scenario: Malformed directory entries are ignored
    Given hosts on a site
    When another writer puts malformed entries into the directory
    And 3 jobs of 4 tasks are submitted to each host in turn
    Then every job is answered 200 "succeeded"

  Scenario: Odd directory entries end no host, and the list is followed on
    # Guards against hosts that end, or read the list no more, at an entry of another writer.
    Given hosts on a site
    When another writer puts odd entries into the directory
    And an upstream drains and its entry was read
    And 3 jobs of 12 tasks are submitted to each host in turn
    Then every job is answered 200 "succeeded"
    And the draining upstream got no start since
    And every host is running and has logged no unexpected error

  Scenario: Hosts that start beside odd directory entries become ready
    Given hosts on a site
    When another writer puts odd entries into the directory
    And all hosts are killed and start again
    Then every host is ready
    When 3 jobs of 4 tasks are submitted to each host in turn
    Then every job is answered 200 "succeeded"
    And every host is running and has logged no unexpected error

  Scenario: Directory entries without an upstream at their address hold up no job
    Given hosts on a site
    When another writer puts entries without upstreams at their addresses into the directory
    And all hosts are killed and start again
    Then every host is ready
    When 3 jobs of 4 tasks are submitted to each host in turn
    Then every job is answered 200 "succeeded"
    And every host is running and has logged no unexpected error

  Scenario: Jobs are answered while the entry of an upstream is odd at times
    # Guards against a capacity too large for the choice of an upstream, which failed every job.
    Given hosts on a site
    When jobs are submitted while another writer overwrites an entry by one with a huge capacity
    Then every job is answered 200 "succeeded"
    And every host is running and has logged no unexpected error

  Scenario: Invalid settings are reported
    When a host is started without settings
    Then it exits with code 2 and reports check "adapter.E001"
    When a host is started with settings that lack its zone
    Then it exits with code 2 and reports check "adapter.E002"

  Scenario: A job whose task fails everywhere is answered as failed after its attempts
    Given hosts on a site
    When every upstream fails everything it starts
    And 1 job of 1 tasks is submitted to each host in turn
    Then every job is answered 200 "failed"
    And no task was started more than 3 times

  Scenario: A claim without a response takes effect if the log holds it
    # Guards against two leaders after an append whose response was lost.
    Given hosts on a site
    When the next 2 appends take effect without a response
    And the leader is killed
    Then a job submitted to another host is answered 200 "succeeded"
    And the upstreams of each zone have the same fencing token
    And no task ran twice at the same time

  Scenario: Jobs are answered while the log refuses every call
    Given hosts on a site
    When the log refuses every call
    And 6 jobs of 4 tasks are submitted to each host in turn
    Then every job is answered 200 "succeeded"

  Scenario: A host keeps running after SIGHUP and logs it
    Given hosts on a site
    When each host gets SIGHUP
    And 3 jobs of 4 tasks are submitted to each host in turn
    Then every job is answered 200 "succeeded"
    And each host has logged event 7002

  Scenario: A host that gets SIGHUP while it starts keeps running
    # Guards against SIGHUP that terminates a process which has no handler yet (soak seed 11).
    When the program of a host is started
    Then SIGHUP is ignored before the host is imported

  Scenario: The runs of a killed entry host's jobs are stopped
    # Guards against runs for a caller that has meanwhile resubmitted its job to another host.
    Given hosts on a site whose tasks take 5000 ms
    When a job of 2 tasks is submitted to each host
    And 4 runs or more are under way
    And every host but the leader is killed
    Then only runs of the leader's own job are under way

  Scenario: A host drains before it stops, and answers what it has accepted
    Given hosts on a site whose tasks take 800 ms
    When a job of 2 tasks is submitted to each host
    And 4 runs or more are under way
    And every host but the leader is terminated
    Then every job is answered 200 "succeeded"
    And each of 6 tasks was started once
    And every host but the leader exits with code 0

  Scenario: Metrics are served
    Given hosts on a site
    When 3 jobs of 2 tasks are submitted to each host in turn
    Then the metrics of the leader count 6 runs

  Scenario: A leader that stops doesn't hand over to a host that is stopping itself
    # Guards against terms held by a host that has just stopped (incident inc-c388, second 15).
    Given hosts on a site
    When the strongest other host is terminated
    And the leader is terminated while that host drains
    Then the remaining host leads every zone

