#include "coltsfoottrail/settings/secret.hpp"

#include "coltsfoottrail/json/reader.hpp"

#include <array>
#include <cstdio>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace coltsfoottrail {

namespace {

constexpr std::size_t MaxSecretBytes = 4096;
constexpr mode_t GroupAndOthersMask = 077;

class FileDescriptor {
public:
  explicit FileDescriptor(const std::filesystem::path &File)
      : Number(::open(File.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK)) {}
  FileDescriptor(const FileDescriptor &) = delete;
  FileDescriptor &operator=(const FileDescriptor &) = delete;
  ~FileDescriptor() {
    if (Number >= 0)
      ::close(Number);
  }
  [[nodiscard]] int number() const noexcept { return Number; }

private:
  int Number;
};

std::string octal(mode_t Mode) {
  std::array<char, 8> Text{};
  std::snprintf(Text.data(), Text.size(), "%04o",
                static_cast<unsigned>(Mode & 07777U));
  return Text.data();
}

std::string trimmed(const std::string &Text) {
  constexpr std::string_view Blanks = " \t\r\n";
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

std::string readUpTo(int Descriptor, std::size_t MaxBytes) {
  std::string Text(MaxBytes, '\0');
  std::size_t Used = 0;
  while (Used < MaxBytes) {
    const ssize_t ReadBytes =
        ::read(Descriptor, Text.data() + Used, MaxBytes - Used);
    if (ReadBytes <= 0)
      break;
    Used += static_cast<std::size_t>(ReadBytes);
  }
  Text.resize(Used);
  return Text;
}

} // namespace

Secret readSecret(const std::filesystem::path &File, std::string_view Source,
                  std::string_view Pointer, std::size_t MinBytes) {
  const std::string FileLabel = "the file \"" + File.string() + "\"";
  const FileDescriptor Descriptor(File);
  if (Descriptor.number() < 0)
    throw InputError(Source, Pointer, FileLabel + ", which cannot be opened",
                     "a file that this process can read");
  struct stat Status {};
  if (::fstat(Descriptor.number(), &Status) != 0 || !S_ISREG(Status.st_mode))
    throw InputError(Source, Pointer, FileLabel + ", which is no regular file",
                     "a regular file");
  if ((Status.st_mode & GroupAndOthersMask) != 0)
    throw InputError(Source, Pointer,
                     FileLabel + " with mode " + octal(Status.st_mode),
                     "a file that only its owner can use, mode 0600 or 0400");
  const std::string Content = readUpTo(Descriptor.number(), MaxSecretBytes + 1);
  const std::string Text = trimmed(Content);
  if (Content.size() > MaxSecretBytes || Text.size() < MinBytes)
    throw InputError(Source, Pointer,
                     FileLabel + " with " + std::to_string(Text.size()) +
                         " bytes",
                     "a secret of " + std::to_string(MinBytes) + " to " +
                         std::to_string(MaxSecretBytes) + " bytes");
  return Secret(Text);
}

} // namespace coltsfoottrail
