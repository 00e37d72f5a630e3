@fleet
Feature: What must always hold, over real sockets

  Scenario: A request whose engine hangs fails within its time
    Given all engines are paused
    When a prompt is asked with a time of 800 ms
    Then the answer is refused with DEADLINE_EXCEEDED

  Scenario: Memory comes back although every cancel is lost
    Given engines lose every cancel
    When a prompt of 20000 tokens is begun and left
    And cancels arrive again
    Then in the end every engine and owner has all its memory back

  Scenario: An entry that dies with streams open leaks nothing
    When 6 long answers are begun at entry 0
    And entry 0 is killed
    Then all of them end
    When entry 0 is started again
    Then in the end every engine and owner has all its memory back

  Scenario: An owner that is paused past its leases cuts and leaks nothing
    When 4 long answers are begun at entry 0
    And entry 1 is paused past its leases while prompts are asked elsewhere
    Then all of them end
    And every answer is right, token by token
    And in the end every engine and owner has all its memory back

  Scenario: The memory of an entry that is gone for good goes to the others
    When 6 long answers are begun at entry 0
    And entry 0 is killed
    And entry 0 is taken off the list
    Then all of them end
    And in the end every engine and owner has all its memory back

  Scenario: Cold engines get no more than they bear, from all entries
    Given all engines turn cold and say so
    When 60 prompts of 1000 tokens are asked at every entry
    Then no engine was pushed over what it bears
    And every answer is right or says that it failed

  Scenario: A withdrawn zone receives no new work
    When zone "nadi" is labelled "state=withdrawn"
    Then zone "nadi" receives no new work
    When zone "nadi" is labelled "state=in-service"
    Then zone "nadi" receives work again

  Scenario: A leaving endpoint receives no new work
    When endpoint "lautoka-e1" is labelled "state=leaving"
    Then endpoint "lautoka-e1" receives no new work

  Scenario: Each caller gets its own answer, late and crossed as they come
    Given engines answer late and crossed
    When 200 prompts of 300 tokens are asked at every entry
    Then every answer is right or says that it failed

  Scenario: An answer goes on elsewhere after its engine dies
    Given prompts come from account "trust-2", which has not retried yet
    When 4 long answers are begun at entry 1
    And an engine that runs an answer dies
    Then all of them end
    And every answer is right, token by token

  Scenario: A million tokens are read although an engine of the group dies
    Given prompts come from account "trust-3", which has not retried yet
    When a prompt of 1000000 tokens is begun on route "summary"
    And an engine that runs an answer dies
    And 20 short prompts are asked beside it
    Then all of them end
    And every answer is right, token by token

  Scenario: A call is run once, whoever repeats it where
    Given a ticket from entry 0
    When the call is sent 40 times at once over all entries
    Then every caller got the answer
    And it ran 1 time

  Scenario: An answer that is lost leaves the outcome unknown, not repeated
    Given a ticket from entry 1
    And services drop their answers
    When the call is sent to entry 0
    Then the last caller is told CALL_BROKE
    When services answer again
    And the call is sent to entry 2
    Then the outcome told is OUTCOME_UNKNOWN
    And it ran 1 time

  Scenario: A home that dies is never replaced for its tickets
    Given a ticket from entry 3
    When the call is sent to entry 0
    And entry 3 is killed
    And the call is sent to entry 0
    Then the last caller is told HOME_GONE
    When entry 3 is started again
    And the call is sent to entry 1
    Then the last caller is told HOME_GONE
    And it ran 1 time

  Scenario: A call that is said not to have run has not run
    Given a ticket from entry 0
    And no service listens
    When the call is sent to entry 1
    Then the outcome told is NOT_RUN
    And services listen again
    And it ran 0 times
    When the call is sent to entry 1
    Then it ran 1 time

  Scenario: A hung service leaves a call in progress, run once
    Given a ticket from entry 0
    And services never answer
    When the call is sent to entry 1 with 500 ms left
    Then the outcome told is OUTCOME_UNKNOWN
    And it ran 1 time

  Scenario: A graceful shutdown cuts no request
    When 12 long answers are begun at entry 2
    And entry 2 is asked to stop
    Then entry 2 refuses a new prompt with ENTRY_LEAVING
    And all of them end
    And every answer is right, token by token
    And entry 2 ends by itself

  Scenario: A restarted entry does not fall back to a stale platform
    When a configuration is in force and the platform falls back behind it
    And entry 1 is killed
    And entry 1 is started again
    Then entry 1 admits requests only with the newest configuration

  Scenario: An entry that starts while the platform is down hears from peers
    When zone "nadi" is labelled "state=withdrawn"
    And the platform goes down
    And entry 2 is killed
    And entry 2 is started again
    Then every entry has the newest configuration in force

  Scenario: A bad configuration changes nothing and says why
    When a configuration that contradicts itself is published
    Then every entry keeps the last good one and says why
