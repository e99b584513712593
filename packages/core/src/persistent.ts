/** Persistent collections, renamed so that they do not shadow the built-in `Map` and `Set`. */
export {
  List as PersistentList,
  Map as PersistentMap,
  OrderedMap as PersistentOrderedMap,
  OrderedSet as PersistentOrderedSet,
  Set as PersistentSet,
} from 'immutable';
