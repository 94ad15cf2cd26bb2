Feature: At most once
  Scenario: A ticket is recognised by its incarnation only
    Given a ticket of instance "e1"
    Then its incarnation takes it as its own until it expires
    And another incarnation of "e1" and another instance refer to the issuer
    And a forged ticket and another member's use of it are invalid

  Scenario: A key is started once and its answer is given to all
    Given a started key
    Then a second start with the same request is told to wait
    And a start with another request is a mismatch
    When the key is settled with an answer
    Then those who waited and later ones get that answer

  Scenario: What proved not to have run may be started again
    Given a started key
    When the key is settled as not run
    Then the key can be started again

  Scenario: Kept bodies and keys are bounded
    Then 1000 answers of 1 kB leave at most 100 kB of bodies and a full table refuses new keys

  Scenario: Concurrent claims of one key under store faults
    Then random interleavings of claims with lost, late and failed calls have at most one winner each

  Scenario: Claims are grouped into few writes
    When 100 claims arrive within one window
    Then they cost 1 transaction
    When 99 new claims and 1 that is taken arrive within one window
    Then they cost 2 transactions and only the taken one conflicts

  Scenario: A closed incarnation vouches for tickets that left no outcome
    Given an outcome log of "e1" with one outcome written
    Then a ticket without an outcome is in doubt
    When "e1" closes in good order
    Then the written ticket is answered and the other was never run
    And a log that lost an outcome does not close
