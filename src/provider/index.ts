/** Machine provider: serves the cloud's protocol for a list of machines that the operator owns. */
export { Provider, type OperatorMachine, type ProviderDeps } from './provider.js';
