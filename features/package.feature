Feature: package
  # Guards against packages whose step definitions are not loaded, which
  # would leave their scenarios undefined.

  Scenario: package steps of every package are loaded
    Then package steps are loaded for every package with scenarios
