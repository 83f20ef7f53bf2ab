/** Clients of the platform: object store, leases and list of instances. */

export { type Instance, InstanceList, readInstances } from "./instance_list.ts";
export { type Holder, LEASE_MS, Lease } from "./lease.ts";
export {
  type ObjectName,
  ObjectStore,
  type VersionedObject,
} from "./object_store.ts";
export { rank } from "./rendezvous.ts";
export { describeStoreError, type StoreError } from "./store_error.ts";
