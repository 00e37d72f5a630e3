@platform @engine_faults
Feature: Prompts that crash engines

  Scenario: A part of prompts that crashes engines is kept from the engines by all VMs
    Given 6 additional engines that come back 0.6 seconds after a crash
    And a part of prompts that crashes each engine that begins to answer it
    When two more entry processes start
    And prompts with the part are sent to all VMs until five engines have crashed or 12 prompts were sent
    And a VM starts and 1.5 seconds pass
    Then of 12 prompts with the part, sent to all VMs, at most 3 reach an engine
    And prompts with the part get 503 and are told to return much later
    And prompts that share the key and the first part are answered

  Scenario: A prompt is sent again after its engine has crashed by itself
    Given 6 additional engines that come back 0.6 seconds after a crash
    When each of three engines crashes while it has prompts with the same part
    Then prompts with the part are answered

  Scenario: A first part that was blamed for the crashes of another part is used again
    Given 6 additional engines that come back 0.6 seconds after a crash
    And a part of prompts that crashes each engine that begins to answer it
    When two more entry processes start
    And prompts that share the first part have been answered
    And an engine crashes by itself under a prompt with the first part, and two under prompts with the part
    And 3 seconds pass without a prompt
    Then of 12 prompts that share the first part, one each 0.3 seconds, at least 10 are answered
    And of 12 prompts with the part, sent to all VMs, at most 3 reach an engine
    And prompts that share the key and the first part are answered

  # Guards against sound prompts that are refused for 30 s because the first part
  # that their callers have just changed to is blamed for another part's crashes.
  Scenario: A new first part that was blamed for the crashes of another part is used again
    Given 6 additional engines that come back 0.6 seconds after a crash
    And a part of prompts that crashes each engine that begins to answer it
    When two more entry processes start
    And prompts that share the first part have been answered
    And the callers change the first part of their prompts
    And an engine crashes by itself under a prompt with the first part, and two under prompts with the part
    And 6 seconds pass without a prompt
    Then of 12 prompts that share the first part, one each 0.3 seconds, at least 10 are answered
    And of 12 prompts with the part, sent to all VMs, at most 3 reach an engine
    And prompts that share the key and the first part are answered

  Scenario Outline: A request that crashes engines is not sent to a third engine
    Given 6 additional engines that come back 0.6 seconds after a crash
    And a <content> that crashes each engine that begins to answer it
    When two more entry processes start
    And prompts that share the first part have been answered
    And requests with this <content> are sent 9 times to all VMs
    Then at most 2 engines have crashed
    And prompts that share the key and the first part are answered

    Examples:
      | content   |
      | last part |
      | body      |

  Scenario: Identical requests are answered although engines crash by themselves
    Given 6 additional engines that come back 0.6 seconds after a crash
    When each of three engines crashes while it has identical requests
    Then identical requests are answered
