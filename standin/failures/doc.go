// Package failures tests whole deployments over real processes while parts of
// them fail. It contains tests only.
package failures
