@platform
Feature: Connections of callers of galenaquay_platform

  Scenario: A shutdown waits until callers have taken their whole responses
    Given each engine sends 40 events of 1000 bytes, one every 0.001 seconds
    And 5 entry processes, each with a caller that does not read its stream of 200 to 400 KB
    When the entry processes get SIGTERM
    And 3.6 seconds pass
    Then each of these callers receives its whole stream
    And the entry processes exit 0 to 1 seconds later with status 0

  Scenario: A shutdown ends with the grace period although a caller reads nothing
    Given each engine sends 40 events of 1000 bytes, one every 0.001 seconds
    And 2 entry processes, each with a caller that does not read its stream of 100 to 300 KB
    When the entry processes get SIGTERM
    Then the entry processes exit 5 to 6 seconds later with status 0

  Scenario: Header values that are not ASCII are forwarded byte for byte
    Given each service answers with a header that is not ASCII
    When a request with a header that is not ASCII is sent
    Then the service receives the header byte for byte
    And the caller receives the header byte for byte

  Scenario: A client of HTTP/1.0 receives a stream that ends with its connection
    When an HTTP/1.0 client requests a stream on "/tell/x"
    Then the client receives 8 events without chunks, and an orderly end
    And the engines executed 1 requests

  Scenario: A client of HTTP/1.0 receives a reset if its stream breaks off
    Given the first engine to run a request disconnects inside an event
    When an HTTP/1.0 client requests a stream on "/tell/x"
    Then the client receives 3 events without chunks, and a reset

  Scenario Outline: A Host header is compared without its port and case
    When a request with the Host header "<host>" is sent
    Then the caller receives status <status>
    And services received only the Host header "<host>"

    Examples:
      | host              | status |
      | shop.example:8080 | 200    |
      | SHOP.Example      | 200    |
      | Shop.example:80   | 200    |
      | shop.example.org  | 404    |
      | shop.example:x    | 404    |
      | shop.example:80:1 | 404    |

  Scenario Outline: A client that half-closes its connection gets its response
    Given each service answers after <delay> seconds
    When a client sends a request to "<target>" and half-closes its connection
    Then the client receives a complete response with status 200
    And the connection is closed after the response

    Examples:
      | target  | delay |
      | /once/x | 0     |
      | /once/x | 1.2   |
      | /ask/x  | 0     |

  Scenario: A client that half-closes its connection gets a stream with short pauses
    Given each engine sends 8 events, one every 0.2 seconds
    When a client sends a request to "/ask/x" and half-closes its connection
    Then the client receives a complete response with status 200
    And the engines executed 1 requests

  Scenario: A client that half-closes its connection is taken for gone in a long pause
    Given each engine sends 4 events, one every 1.2 seconds
    When a client sends a request to "/ask/x" and half-closes its connection
    Then the response ends incomplete within 0.6 seconds
    And each engine sees its connections closed

  Scenario: A client that half-closes after two requests gets both responses
    When a client sends two requests to "/look/x" and half-closes its connection
    Then the client receives two complete responses with status 200

  Scenario Outline: A client that is gone is noticed before its response
    Given the services never respond
    When a client sends a request to "/once/x" and <leaves>
    Then the endpoint sees its connection closed within 0.5 seconds

    Examples:
      | leaves                                     |
      | is gone after 0.4 seconds                  |
      | half-closes, and is gone after 0.4 seconds |

  Scenario Outline: A client that is gone is noticed in a pause of its stream
    Given each engine sends 4 events, one every 3 seconds
    When a client sends a request to "/ask/x" and <leaves>
    Then the endpoint sees its connection closed within 0.5 seconds

    Examples:
      | leaves                                     |
      | is gone after 0.2 seconds                  |
      | half-closes, and is gone after 0.2 seconds |

  Scenario: A client that half-closes its connection inside a body is given up
    When a client sends a part of a request and half-closes its connection
    Then the connection is closed at once without a response
    And the services executed 0 requests

  Scenario: An entry process runs where the kernel tells nothing of connections
    Given the entry process starts again where the kernel tells nothing
    Then a POST request to "/once/x" gets 200
    Given the services never respond
    When a client sends a request to "/once/x" and is gone after 0.4 seconds
    Then the endpoint sees its connection closed within 0.5 seconds
    When the entry process gets SIGTERM
    Then the entry process exits with status 0
    And the entry process has logged no error

  Scenario: A request id that is not UTF-8 is logged
    When a request whose id is not UTF-8 is sent
    Then the caller receives status 200
    And the entry process has logged the request with id "x\udce9\udcff"
    And the entry process has logged no error

  Scenario: The ends of engines under a part that is not UTF-8 are reported
    Given 2 additional engines
    And each engine ends when it gets a part that is not UTF-8
    When a second entry process starts
    And 3 prompts with the part are sent one after the other
    Then the second entry process blames the part
    And the entry process has logged no error
