Feature: Load and capacity tools
  Published capacity figures are measured with these tools, so their counts must be right. No check
  in this feature depends on speed.

  Scenario: The load tool counts the tasks that the workers have started
    # Guards against a load tool that counts refused, partial or repeated answers as done tasks.
    Given a capacity deployment of 2 daemons and 4 workers
    When the load tool sends 12 jobs of 30 tasks
    And the load tool sends 20 jobs of 1 tasks
    And the load tool sends 20 single requests
    Then the load tool's answers are all complete
    And the load tool's count of tasks is 400
    And the capacity workers started 400 tasks with 400 different keys

  Scenario: Request headers encoded once for a job equal headers encoded for each task
    # Guards against shared headers that carry the key, length or timeout of another task.
    When upstream requests are encoded for many tasks in turn
    Then each decoded upstream request matches its task

  Scenario: A key that is invalid in an HTTP header does not stop the daemon
    # Guards against an encoding error that cancels all tasks of the daemon.
    Given a capacity deployment of 1 daemons and 2 workers
    When a capacity caller submits a job under a key that starts with a space
    Then the answer to the capacity caller says whether its task ran
    When the load tool sends 2 jobs of 30 tasks
    Then the load tool's answers are all complete

  Scenario: The limit on kept memory bounds resident memory
    # Guards against a limit that counts only bodies and not the objects that hold them.
    Given a capacity daemon that may keep 4 MB, after its first jobs
    When jobs of 300 small tasks are sent until the capacity daemon refuses them for memory
    Then the capacity daemon has grown by 0.5 to 1.5 times its limit

  Scenario: An idle upstream needs one coroutine, and all its slots can run tasks
    # Guards against a coroutine for each slot when a daemon briefly owns 1,000 upstreams.
    When a capacity pool runner owns 40 upstreams of 8 slots and then gets 320 tasks
    Then it ran one coroutine for each idle upstream and all tasks concurrently
