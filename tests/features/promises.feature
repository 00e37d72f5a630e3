@fleet
Feature: Guarantees of the fleet, tested with real processes and sockets

  Scenario: A request to a hung engine fails at its deadline
    Given all engines are paused
    When a prompt is sent with a deadline of 800 ms
    Then the prompt is refused with DEADLINE_EXCEEDED

  Scenario: Memory is released although every cancellation is lost
    Given engines lose every cancellation
    When a prompt of 20000 tokens is sent and its caller disconnects
    And engines process cancellations again
    Then eventually all memory is free at every engine and at its owner

  Scenario: An entry process that dies with open streams leaks no memory
    When 6 long responses are started at entry process 0
    And entry process 0 is killed
    Then all started requests end
    When entry process 0 is restarted
    Then eventually all memory is free at every engine and at its owner

  Scenario: An owner paused past its leases interrupts no request and leaks no memory
    When 4 long responses are started at entry process 0
    And entry process 1 is paused past its leases while the others get prompts
    Then all started requests end
    And every response has the expected text
    And eventually all memory is free at every engine and at its owner

  Scenario: The memory of a removed entry process is released
    When 6 long responses are started at entry process 0
    And entry process 0 is killed
    And entry process 0 is removed from the VM list
    Then all started requests end
    And eventually all memory is free at every engine and at its owner

  Scenario: All entry processes together respect the limits of cold engines
    Given all engines are cold and every entry process knows it
    When 60 prompts of 1000 tokens are spread over all entry processes
    Then no engine exceeded its memory or its cold limit
    And every response has the expected text or an error

  Scenario: A withdrawn zone receives no new requests
    When zone "nadi" is labelled "state=withdrawn"
    Then zone "nadi" receives no new requests
    When zone "nadi" is labelled "state=in-service"
    Then zone "nadi" receives requests again

  Scenario: A leaving endpoint receives no new requests
    When endpoint "lautoka-e1" is labelled "state=leaving"
    Then endpoint "lautoka-e1" receives no new requests

  Scenario: No caller receives the response to another request
    Given engines respond late and sometimes with the id of another request
    When 200 prompts of 300 tokens are spread over all entry processes
    Then every response has the expected text or an error

  Scenario: A response is continued by another engine after its engine dies
    Given prompts are sent with account "trust-2", which has its whole retry budget
    When 4 long responses are started at entry process 1
    And an engine that runs a request dies
    Then all started requests end
    And every response has the expected text

  Scenario: A prompt of a million tokens completes although an engine of its group dies
    Given prompts are sent with account "trust-3", which has its whole retry budget
    When a prompt of 1000000 tokens is started on route "summary"
    And an engine that runs a request dies
    And 20 short prompts are sent while the long prompt runs
    Then all started requests end
    And every response has the expected text

  Scenario: A call with a ticket is executed once when it is sent to every entry process
    Given a ticket from entry process 0
    When the call is sent 40 times concurrently over all entry processes
    Then every caller received the response
    And the call was executed 1 time

  Scenario: A call whose response is lost has an unknown outcome and is not repeated
    Given a ticket from entry process 1
    And services close connections without responding
    When the call is sent to entry process 0
    Then the last caller received the error CALL_BROKE
    When services respond again
    And the call is sent to entry process 2
    Then the last caller received the outcome OUTCOME_UNKNOWN
    And the call was executed 1 time

  Scenario: A ticket stays bound to its entry process after that process dies
    Given a ticket from entry process 3
    When the call is sent to entry process 0
    And entry process 3 is killed
    And the call is sent to entry process 0
    Then the last caller received the error HOME_GONE
    When entry process 3 is restarted
    And the call is sent to entry process 1
    Then the last caller received the error HOME_GONE
    And the call was executed 1 time

  Scenario: A call with outcome NOT_RUN was not executed
    Given a ticket from entry process 0
    And all services are stopped
    When the call is sent to entry process 1
    Then the last caller received the outcome NOT_RUN
    And all services are started again
    And the call was executed 0 times
    When the call is sent to entry process 1
    Then the call was executed 1 time

  Scenario: A call to a hung service has an unknown outcome and is executed once
    Given a ticket from entry process 0
    And services never respond
    When the call is sent to entry process 1 with a deadline of 500 ms
    Then the last caller received the outcome OUTCOME_UNKNOWN
    And the call was executed 1 time

  Scenario: A graceful shutdown interrupts no request
    When 12 long responses are started at entry process 2
    And entry process 2 gets SIGTERM
    Then entry process 2 refuses a new prompt with ENTRY_LEAVING
    And all started requests end
    And every response has the expected text
    And entry process 2 exits with status 0

  Scenario: A restarted entry process ignores an outdated configuration of the platform
    When the platform serves an older configuration than the one in force
    And entry process 1 is killed
    And entry process 1 is restarted
    Then entry process 1 is ready only with the newest configuration

  Scenario: An entry process gets the configuration from peers while the platform is down
    When zone "nadi" is labelled "state=withdrawn"
    And the platform becomes unavailable
    And entry process 2 is killed
    And entry process 2 is restarted
    Then every entry process applies the newest configuration

  Scenario: An invalid configuration is not applied and the reason is shown
    When a configuration whose routes name missing pools is published
    Then every entry process keeps the previous configuration and the reason is shown
