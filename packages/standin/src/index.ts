/** Stand-ins for the platform services, model engines, store VMs and plain services. */
export * from './engine/index.js';
export * from './http/index.js';
export * from './log/index.js';
export { createRole, roleNames } from './roles.js';
export * from './service/index.js';
export * from './store/index.js';
export * from './vmList/index.js';
export * from './weights/index.js';
