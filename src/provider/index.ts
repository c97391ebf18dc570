/** The cloud's protocol over a list of machines that the operator owns. */
export { Provider, type OwnMachine, type ProviderDeps } from './provider.js';
