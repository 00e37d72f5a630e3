Feature: Responses that are not in the protocol

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
