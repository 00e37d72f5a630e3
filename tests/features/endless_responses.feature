Feature: Responses that are not in the protocol

  Guards against a faulty endpoint that makes a VM hold whatever it sends, until
  the VM runs out of memory and the requests of all its callers end with it.

  Scenario Outline: A response without end to <client> is given up
    Given a server that sends a body without end
    When <client> calls the server
    Then the call fails and the server sent at most 20 MB

    Examples:
      | client                       |
      | the reader of reservations   |
      | the client of engine reports |
      | the client of services       |

  Scenario Outline: Memory while <client> is sent <bytes> without end
    Given a server that sends <bytes> without end
    When <client> calls the server
    Then the call ends and holds at most 20 MB

    Examples:
      | client                       | bytes                   |
      | the reader of reservations   | a body                  |
      | the reader of reservations   | small chunks            |
      | the reader of reservations   | a chunk extension       |
      | the reader of reservations   | trailers                |
      | the reader of reservations   | headers                 |
      | the reader of reservations   | a header                |
      | the reader of reservations   | a status line           |
      | the reader of reservations   | empty lines             |
      | the reader of reservations   | informational responses |
      | the reader of reservations   | no response             |
      | the client of reservations   | a body                  |
      | the client of reservations   | small chunks            |
      | the client of reservations   | a chunk extension       |
      | the client of reservations   | trailers                |
      | the client of reservations   | headers                 |
      | the client of reservations   | a header                |
      | the client of reservations   | a status line           |
      | the client of reservations   | empty lines             |
      | the client of reservations   | informational responses |
      | the client of reservations   | no response             |
      | the check of runs            | a body                  |
      | the check of runs            | small chunks            |
      | the check of runs            | a chunk extension       |
      | the check of runs            | trailers                |
      | the check of runs            | headers                 |
      | the check of runs            | a header                |
      | the check of runs            | a status line           |
      | the check of runs            | empty lines             |
      | the check of runs            | informational responses |
      | the check of runs            | no response             |
      | the client of engine reports | a body                  |
      | the client of engine reports | small chunks            |
      | the client of engine reports | a chunk extension       |
      | the client of engine reports | trailers                |
      | the client of engine reports | headers                 |
      | the client of engine reports | a header                |
      | the client of engine reports | a status line           |
      | the client of engine reports | empty lines             |
      | the client of engine reports | informational responses |
      | the client of engine reports | no response             |
      | the client of prompts        | informational responses |
      | the client of services       | a body                  |
      | the client of services       | small chunks            |
      | the client of services       | a chunk extension       |
      | the client of services       | trailers                |
      | the client of services       | headers                 |
      | the client of services       | a header                |
      | the client of services       | a status line           |
      | the client of services       | empty lines             |
      | the client of services       | informational responses |
      | the client of services       | no response             |

  # Guards against half of a response that looks whole because the sending of the
  # call, and not the reading of the response, noticed the reset.
  Scenario: Half of a response to a call of a service is no response
    Given a server that resets calls after half of a response without a length
    Then each of 20 calls of a service with 2000000 bytes fails

  # Guards against a response that the caller gets though its status is none.
  Scenario Outline: A response to <client> with status <status> is no response
    Given a server that responds with status <status>
    When <client> calls the server
    Then the call fails

    Examples:
      | client                       | status |
      | the client of services       | 000    |
      | the client of services       | 099    |
      | the client of services       | 600    |
      | the client of services       | 999    |
      | the exchange with endpoints  | 000    |
      | the exchange with endpoints  | 099    |
      | the exchange with endpoints  | 600    |
      | the exchange with endpoints  | 999    |
