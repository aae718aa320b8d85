export { ListenerConnections } from './listenerConnections.js';
