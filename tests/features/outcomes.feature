Feature: Calls with a ticket
  A call with a ticket is executed at most once. NOT_RUN is reported only for
  a call that was not executed.

  Scenario: Repeats, crashes and lost responses never execute a call twice
    When the state machine "ticket" runs 200 times with 40 steps
    Then every step kept the invariants
