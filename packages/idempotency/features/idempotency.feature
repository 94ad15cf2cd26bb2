Feature: At-most-once execution
  Scenario: A ticket is accepted only by the incarnation that issued it
    Given a ticket of instance "e1"
    Then the issuing incarnation accepts it until it expires
    And another incarnation of "e1" and another instance refer to the issuer
    And a forged ticket and a ticket used by another member are invalid

  Scenario: A key is started once and all resends get its answer
    Given a started key
    Then a second start with the same request has to wait for the first
    And a start with another request is a mismatch
    When the key is completed with an answer
    Then waiting and later resends get that answer

  Scenario: A request that was not run may be started again
    Given a started key
    When the key is completed as not run
    Then the key can be started again

  Scenario: Kept bodies and keys are bounded
    Then 1000 answers of 1 kB leave at most 100 kB of bodies and a full table refuses new keys

  Scenario: Concurrent claims of one key under store faults
    Then random concurrent claims with lost, late and failed store calls have at most one winner for each key

  Scenario: Claims are batched into few transactions
    When 100 claims arrive within one window
    Then they cost 1 transaction
    When 99 new claims and 1 that is taken arrive within one window
    Then they cost 2 transactions and only the taken one conflicts

  Scenario: After a clean close a ticket without an outcome is known to have never run
    Given an outcome log of "e1" with one outcome written
    Then the outcome of a ticket without a stored outcome is unknown
    When "e1" closes cleanly
    Then the ticket with a stored outcome is answered and the other was never run
    And an outcome log that lost an outcome does not close
