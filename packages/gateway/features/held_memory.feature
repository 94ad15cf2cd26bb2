Feature: What an entry holds for others is bounded for the process

  Scenario Outline: Clients that pipeline and read nothing make the <server> hold little
    Given an open <server> server with a state of 1 MB
    When 30 clients send it 600 KB of requests each and read nothing
    Then less than 24 MB are held for its clients
    And the <server> server answers within 1 s

    Examples:
      | server    |
      | directory |
      | readiness |
      | state     |
      | metrics   |

  Scenario Outline: Clients that never end a request don't take all connections of the <server>
    Given an open <server> server with a state of 1 MB
    When 700 clients send it a part of a request each
    Then it has <connections> connections at most
    And the log says that connections of the <server> were closed
    And the <server> server answers within 1 s

    Examples:
      | server    | connections |
      | directory | 512         |
      | readiness | 64          |
      | state     | 640         |
      | metrics   | 8           |

  Scenario: A part of a request is not waited for without end
    Given an open directory server with a state of 1 MB
    When 10 clients send it a part of a request each
    Then it has 0 connections at most after 7 s

  Scenario: Entries that know the same and read slowly share one answer
    Given an open state server with a state of 12 MB
    When 30 entries that know the same fetch the state and read nothing
    Then less than 20 MB are held for its clients
    And the state server answers within 1 s

  Scenario: Entries that read slowly, and each know something else, are refused beyond a bound
    Given an open state server with a state of 12 MB
    When 30 entries that each know something else fetch the state and read nothing
    Then less than 40 MB are held for its clients
    And another entry that knows something else is answered 503
    When those entries are gone
    Then the state server answers within 1 s
    And less than 20 MB are held for its clients

  Scenario: State answers that are read at the same time are bounded together
    Given an entry that sends a state of 1 MB, but for the last byte while 8 fetches go on
    When 20 fetches from it run at the same time
    Then 8 of them succeed at most
    And each of the others logs why it failed
    And a later fetch from it succeeds

  Scenario: Heartbeats of ever new entries hold little
    Given an entry that knows the entries "e1" and "e2" from the store
    When 50000 other entries send it a heartbeat each, 10 per ms
    Then less than 8 MB are held for those others
    And heartbeats of "e1" and "e2" still count

  Scenario: Reports of many targets and services hold little
    Given an entry that knows the entries "e1" and "e2" from the store
    When 500 other entries report 2000 targets and 500 services each
    Then less than 16 MB are held for those others
    And heartbeats of "e1" and "e2" still count

  Scenario: Suspects of other entries hold little
    When other entries report 1000 requests that crashed 200 targets each
    Then less than 4 MB are held for those others
    And each of these requests is held back

  Scenario: A long name in a datagram is refused
    Then a heartbeat that names a target with 5000 characters can't be read
    And a heartbeat that names a fingerprint with 5000 characters can't be read
    And a heartbeat from an entry with an id of 5000 characters can't be read

  Scenario: The digests of many data centres reach the entries of another one
    Given an entry that relays digests to a local peer
    When it gets digests of 2 KB from 88 data centres at the same time
    Then the local peer gets all of them within 3 s
