@platform @vm_faults
Feature: Entry processes that are partitioned from all endpoints

  Scenario Outline: Requests are served through another entry process
    Given <vms> entry processes with links of their own to the endpoints
    When the links to all endpoints <fail>
    And 3 seconds pass
    Then of 20 requests to "<target>" at each of these at least 19 are served
    And no request has run twice

    Examples:
      | vms | fail              | target  |
      | 1   | do not answer     | /look/x |
      | 1   | do not answer     | /once/x |
      | 1   | do not answer     | /tell/x |
      | 1   | refuse connections | /tell/x |
      | 1   | refuse connections | /look/x |
      | 2   | do not answer     | /look/x |
      | 2   | do not answer     | /tell/x |

  Scenario: A zone whose entry processes are all partitioned
    Given 6 entry processes with links of their own to the endpoints
    When the links to all endpoints do not answer
    And 3 seconds pass
    Then each of 4 requests to "/look/x" at each of these, one in 1.2 seconds, is served

  Scenario: Requests go to the endpoints directly after a partition
    Given 1 entry processes with links of their own to the endpoints
    When the links to all endpoints do not answer
    And 3 seconds pass
    Then of 20 requests to "/look/x" at each of these at least 19 are served
    When the links to all endpoints answer again
    And 1.5 seconds pass
    Then requests to "/look/x" pass over the links

  Scenario: A caller that leaves a partitioned entry process ends its request
    Given 1 entry processes with links of their own to the endpoints
    And each engine sends an event every 0.3 seconds
    When the links to all endpoints do not answer
    And 3 seconds pass
    And a caller of "/tell/x" there disconnects after 0.8 seconds
    Then the engine cancels the request within 0.5 seconds

  Scenario: The entry process that serves a partitioned one is killed
    Given 1 entry processes with links of their own to the endpoints
    And each engine sends an event every 0.3 seconds
    When the links to all endpoints do not answer
    And 3 seconds pass
    And the other entry process is killed 0.8 seconds after a request to "/tell/x"
    Then the response that has begun is incomplete
    And a request to "/once/x" there gets 503 within 2 seconds

  Scenario: A request that may have run in another entry process is not refused
    Given 1 entry processes with links of their own to the endpoints
    And the services never respond
    When the links to all endpoints do not answer
    And 3 seconds pass
    And the other entry process is killed 0.8 seconds after a request to "/once/x"
    Then the response has status 502

  Scenario: A request that another entry process keeps for too long is not refused
    Given 1 entry processes with links of their own to the endpoints
    And the services never respond
    When the links to all endpoints do not answer
    And 3 seconds pass
    And the other entry process is paused 0.8 seconds after a request to "/once/x"
    Then the response has status 504

  Scenario: A shutdown waits for requests of a partitioned entry process
    Given 1 entry processes with links of their own to the endpoints
    And each engine sends an event every 0.3 seconds
    When the links to all endpoints do not answer
    And 3 seconds pass
    And the other entry process gets SIGTERM 0.8 seconds after a request to "/tell/x"
    Then the caller receives the complete stream there

  Scenario: A request with little time that was not sent is refused as not run
    Given 1 entry processes with links of their own to the endpoints
    When the other entry process is killed
    And the links to all endpoints do not answer
    Then a request to "/brief/x" there gets 503 within 0.5 seconds
