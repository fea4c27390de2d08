Feature: package
  # Guards against packages whose step definitions are not loaded, which
  # would leave their scenarios undefined.

  Scenario: package steps of every package are loaded
    Then package steps are loaded for every package with scenarios

  # Guards against cells of the tests whose processes can't start, because one
  # of the ports that they share out is used by another run.
  Scenario: package the ports of a cell of the tests are all free
    Then package a port in use is not among consecutive free ports
