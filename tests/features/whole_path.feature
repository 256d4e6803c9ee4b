Feature: The complete path of packets and streams
  Records, announcements, packets and streams in one process over loopback sockets.

  Background:
    Given a running system of 1 control host, 3 balancers and 2 targets a service
    And the records of both businesses are applied

  Scenario: Packets of a flow may arrive at any balancer
    When 20 callers open a flow to booking and ask 3 times over random balancers
    Then every answer comes from booking and each flow stays with one target
    And the fabric has sent packets to every balancer

  Scenario: A stream reaches the service at its address
    When a caller fetches a page from booking and one from gatepass
    Then the pages come from booking and from gatepass

  Scenario: Status shows the revision of every node
    When the operator asks for the status
    Then it names 4 services, 8 targets and every node at the newest revision

  Scenario: Bad input is rejected and counted, and traffic continues
    When the fabric forwards a malformed packet, one for an unknown service and one from a caller that is not allowed
    And the operator applies a record with an unknown schema version
    Then the packets are counted as rejected and the record gets a clear error
    When 5 callers open a flow to booking and ask 1 times over random balancers
    Then every answer comes from booking and each flow stays with one target

  Scenario: A swap that is sent twice runs once
    When a caller sends one swap with the same key 3 times through the balancer
    Then the swap ran once and every answer is that of the run

  Scenario: Draining a target breaks no flow
    When 20 callers ask booking while booking-1 is drained
    Then every answer comes from booking and each flow stays with one target
    And a new flow no longer reaches booking-1

  Scenario: A planned stop leaves nothing behind
    When the system is asked to stop
    Then every listener is closed
