Feature: Answers to forwarded requests
  An entry that reaches no target forwards its requests to another one. What that one
  says of a request is a promise only if the entry itself says it, of this attempt.

  Background:
    Given a store with a route of each kind

  Scenario: A target's answer that looks like an entry's refusal is no promise
    Given a target "t1" that answers like an entry that refuses
    And an entry "e2"
    And an entry "e1" without links to "t1"
    And "e1" knows within 5 s that "e2" serves
    When a caller of "e1" posts "/write/x" until it is served, 3 requests with 9 tries each
    Then each of them reached "t1" once
    And each of these requests was served

  Scenario: A target's answer without an id is taken for the answer of the entry that forwards it
    Given a target "t1" that answers without an id and closes
    And an entry "e2"
    And an entry "e1" without links to "t1"
    And "e1" knows within 5 s that "e2" serves
    When a caller of "e1" posts "/write/x" until it is served, 3 requests with 9 tries each
    Then each of these requests was served
    And each of them reached "t1" once

  Scenario: A copy of an entry's refusal is not taken for its answer when the request comes back
    Given a target "t1" that answers
    And an entry "e1" without links to "t1"
    And a stand-in for an entry "e2" that refuses each request once, and then sends a copy before the next answer
    And "e1" knows within 5 s that "e2" serves
    When a caller of "e1" posts "/write/x" until it is served, 6 requests with 9 tries each
    Then each of these requests was served
    And none ran twice, or was refused while it ran

  Scenario: A forwarded request that an entry stops before it reads is refused
    Given a target "t1" that answers
    And an entry "e2" with a grace period of 3 s
    And an entry "e1" without links to "t1"
    And "e1" knows within 5 s that "e2" serves
    When a caller of "e1" posts "/write/x" until it is served, 1 request with 9 tries each
    And another caller of "e1" posts "/batch/x", and "e2" stops before it reads that
    Then that caller got a 503 with a Retry-After, and its request reached no target
