@platform
Feature: Ends of responses that have neither a length nor chunks

  Scenario Outline: A stream whose engine crashes is not complete
    Given the first engine to run a request applies the fault "<fault>"
    When a stream is requested on "<target>"
    Then the response is <end>
    And the caller receives <events> events

    Examples:
      | fault               | target  | end        | events |
      | unframed late crash | /ask/x  | complete   | 8      |
      | unframed late crash | /tell/x | incomplete | 3      |
      | unframed restart    | /ask/x  | complete   | 8      |
      | unframed restart    | /tell/x | incomplete | 3      |
      | unframed reuse      | /ask/x  | complete   | 8      |
      | unframed reuse      | /tell/x | incomplete | 3      |
      | unframed silence    | /ask/x  | complete   | 8      |
      | unframed silence    | /tell/x | incomplete | 3      |

  Scenario Outline: The end of an engine with a request is recorded if it is shown
    Given the first engine to run a request applies the fault "<fault>"
    When a stream is requested on "/tell/x"
    Then the entry process records <count> ends of engines within 2 seconds

    Examples:
      | fault               | count |
      | unframed crash      | 1     |
      | unframed late crash | 1     |
      | unframed restart    | 1     |
      | unframed reuse      | 1     |
      | unframed silence    | 0     |
      | torn                | 0     |

  Scenario Outline: Half of a response is not taken for the whole
    Given each service applies the fault "<fault>" to its next request
    When a POST request is sent to "/once/x"
    Then the response has status 502
    And the response has no seal header

    Examples:
      | fault               |
      | unframed crash      |
      | unframed late crash |
      | unframed restart    |
      | unframed reuse      |
      | unframed silence    |

  Scenario Outline: An entry process that was frozen during a crash notices it
    Given all engines send streams without a length
    When the entry process is frozen while a stream's engine crashes and <then>
    Then the stream is incomplete

    Examples:
      | then                                     |
      | starts again under its id                |
      | another engine listens at its address    |
      | starts again and is listed under its id  |
      | nothing listens until its record is gone |

  Scenario Outline: Streams of an engine that leaves in order are complete
    Given all engines send streams without a length
    When an engine with 4 streams leaves in order after <sign>
    Then all streams are complete

    Examples:
      | sign                         |
      | an answer that says so       |
      | its record says so           |
      | its record was removed       |
      | its record said so, then went |

  Scenario Outline: Streams of an engine that crashes as it leaves are incomplete
    Given all engines send streams <framing>
    When an engine with 4 streams crashes after <sign>
    Then no stream is complete

    Examples:
      | framing                         | sign                   |
      | without a length                | an answer that says so |
      | without a length                | its record says so     |
      | without a length                | its record was removed |
      | of which one is sent in chunks  | an answer that says so |

  Scenario: A service without a report ends its responses in order
    Given the services offer no report
    And each service applies the fault "unframed" to its next request
    When a POST request is sent to "/once/x"
    Then the caller receives the service's response with its seal header

  Scenario: A service without a report is replaced by another at its address
    Given the services offer no report
    And each service applies the fault "unframed reuse" to its next request
    When a POST request is sent to "/once/x"
    Then the response has status 502

  Scenario: The platform lists no start of the endpoints
    Given the platform lists no start of the endpoints
    And each service applies the fault "unframed" to its next request
    When a POST request is sent to "/once/x"
    Then the caller receives the service's response with its seal header

  Scenario: The report is read only for responses without framing
    When a stream is requested on "/ask/x"
    And a POST request is sent to "/once/x"
    Then no report was read
    Given each service applies the fault "unframed" to its next request
    When a POST request is sent to "/once/x"
    Then 1 report was read
