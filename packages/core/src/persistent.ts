/** Persistent collections under names that do not hide the language's own. */
export {
  List as PersistentList,
  Map as PersistentMap,
  OrderedMap as PersistentOrderedMap,
  OrderedSet as PersistentOrderedSet,
  Set as PersistentSet,
} from 'immutable';
