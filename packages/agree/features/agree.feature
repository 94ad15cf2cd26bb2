Feature: Agreement on the configuration
  Scenario: Concurrent changes under store faults
    Then random concurrent publications with lost, late and failed store calls keep one linear history
    And each change that was reported as published is in the history once
    And no change that was reported as refused is in the history

  Scenario: Of two operators who change the same revision one succeeds and the other gets a conflict
    Given a published revision
    When two operators publish on revision 1 at once
    Then one succeeds and the other gets a conflict that names both changes

  Scenario: A change that is sent twice takes effect once
    Given a published revision
    When the answer to a change is lost and the change is resent
    Then revision 2 contains it and there is no revision 3

  Scenario Outline: A change that was written is never refused because it can't be read back
    Given a published revision
    When a change is written <how>, and no revision can be read after that
    Then the change is in doubt
    When revisions can be read again and the change is resent
    Then revision 2 contains it and there is no revision 3

    Examples:
      | how                                  |
      | without an answer                    |
      | after its time is up and it is retried |

  Scenario: The applied revision never goes back and its freshness is never overstated
    Then random proofs from stale, late and current sources never lower the revision or let an outdated one count as fresh

  Scenario: Two instances never hold a duty at once, despite pauses and store faults
    Then random sequences of renewals and pauses never show two holders or a write by a former holder

  Scenario Outline: Edits that break a rule are refused
    Given a published revision
    When the edit "<edit>" is made
    Then it is refused as "<result>"

    Examples:
      | edit                        | result                |
      | exception without a reason  | invalid-configuration |
      | exception that exists       | invalid-configuration |
      | retire an unknown exception | not-found             |
      | move above its cap          | invalid-configuration |
      | advance an unknown move     | not-found             |
      | drain twice                 | invalid-configuration |
