/// @file
/// Forward declarations of the assembly module: which engines form groups for
/// which model, on a fleet whose endpoints publish themselves.
#ifndef COLTSFOOTTRAIL_ASSEMBLY_FWD_HPP
#define COLTSFOOTTRAIL_ASSEMBLY_FWD_HPP

namespace coltsfoottrail {

class Assembler;
class LoadPacer;
struct AssemblyTimes;
struct AssemblyView;
struct SeatCommand;
struct GroupSighting;

} // namespace coltsfoottrail

#endif
