@platform
Feature: Request bodies that endpoints read late

  Guards against two faults: the rest of a body was dropped once the response
  to its request was complete, and an endpoint that kept its receive window
  closed for 1.5 seconds was taken for a dead machine.

  Background:
    Given endpoints with receive buffers of 65536 bytes and segments of 1448
    And bodies of up to 4194304 bytes

  Scenario Outline: An endpoint that reads on after its response gets the whole body
    Given each service applies the fault "late body" to its next request
    And each service reads late bodies after <pause> seconds
    When a timed POST request with 4000000 bytes is sent to "/once/x"
    Then the response has status 200
    And the response arrives after 0 to 0.9 seconds
    And within <limit> seconds the service has the whole body and nothing else
    And the entry process logs that a late body ended: "sent"

    Examples:
      | pause | limit |
      | 1     | 3     |
      | 2.6   | 5     |

  Scenario: Streams of engines that pause before they read a body are complete
    Given 6 additional engines
    And endpoints with receive buffers of 65536 bytes and segments of 1448
    And the streams of "/ask/" may pause for 4 seconds
    And each engine reads late bodies after 2.6 seconds
    When 6 callers with open connections send requests of 600000 bytes to "/ask/x", which each engine reads late
    Then all callers received complete streams
    And the engines executed 12 requests
    And all engines received the whole bodies

  Scenario: A service that pauses before it reads a body can still respond
    Given each service applies the fault "late body" to its next request
    And each service reads late bodies after 2.6 seconds
    And each service responds after 3 seconds
    When a timed POST request with 600000 bytes is sent to "/once/x"
    Then the response has status 200
    And within 1 seconds the service has the whole body and nothing else

  Scenario Outline: A service that responds and closes the connection harms no response
    Given each service applies the fault "<fault>" to its next request
    Then 20 POST requests with 4000000 bytes to "/once/x" get the whole response

    Examples:
      | fault        |
      | unread close |
      | unread reset |

  # Guards against half of a response that looks whole because the sending of the
  # body, and not the reading of the response, noticed the reset.
  Scenario: A response that is reset while its request is being sent is not complete
    Given each service applies the fault "unread half reset" to its next request
    Then 40 POST requests with 4000000 bytes to "/once/x" get status 502

  Scenario: A service that responds and closes the connection gets no more of the body
    Given each service applies the fault "unread close" to its next request
    When a timed POST request with 4000000 bytes is sent to "/once/x"
    Then the response has status 200
    And the entry process logs that a late body ended: "endpoint ended"

  Scenario Outline: A caller that leaves before its response ends the transfer at once
    Given each <kind> applies the fault "unread silence" to its next request
    When a caller of "<target>" with 4000000 bytes disconnects after 0.6 seconds
    Then the <kind> sees the end of the connection within 0.5 seconds of that

    Examples:
      | kind    | target  |
      | service | /once/x |
      | engine  | /tell/x |

  Scenario: A transfer ends at the deadline of its request
    Given each service applies the fault "late body" to its next request
    And each service reads late bodies after 5 seconds
    When a POST request with 4000000 bytes and 1500 ms is sent to "/once/x"
    Then the response has status 200
    And the entry process logs that a late body ended: "out of time"

  Scenario Outline: A machine that no longer responds is noticed
    Given each service applies the fault "<fault>" to its next request
    When a timed POST request with <size> bytes is sent to "/once/x"
    Then the response has status 502
    And the response arrives after 1.2 to <limit> seconds

    Examples:
      | fault        | size    | limit |
      | read death   | 100     | 3.6   |
      | unread death | 4000000 | 3.0   |

  Scenario: A machine that dies behind a closed window is noticed
    Given each service applies the fault "unread death" to its next request
    And each service reads late bodies after 1 seconds
    When a timed POST request with 4000000 bytes is sent to "/once/x"
    Then the response has status 502
    And the response arrives after 2.2 to 3.9 seconds

  Scenario Outline: Slow reading is harmless where the kernel reports <missing>
    Given the kernel does not report <missing> to the entry process
    And each service applies the fault "late body" to its next request
    And each service reads late bodies after 2.6 seconds
    And each service responds after 3 seconds
    When a timed POST request with 600000 bytes is sent to "/once/x"
    Then the response has status 200
    And within 1 seconds the service has the whole body and nothing else

    Examples:
      | missing             |
      | TCP_INFO            |
      | SIOCOUTQ            |
      | TCP_INFO, SIOCOUTQ  |

  Scenario: A shutdown waits until an endpoint has read a body
    Given each service applies the fault "late body" to its next request
    And each service reads late bodies after 3.8 seconds
    When a POST request with 4000000 bytes and 8000 ms is sent to "/once/x"
    And the entry process gets SIGTERM
    Then the response has status 200
    And within 5 seconds the service has the whole body and nothing else
    And the entry process exits with status 0

  Scenario: The memory for transfers after the response is bounded
    Then the property "late_bodies" holds
